// Package standin provides small stand-ins for the processes around
// wisteriafold: a backend server and callers. `wisteriafold try`, tests and
// manual trials use them. They are not a simulator: they run in real time and
// send HTTP over TCP.
package standin
