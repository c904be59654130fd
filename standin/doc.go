// Package standin holds small stand-ins for what lies around wisteriafold: a
// backend server and a caller. They serve `wisteriafold try`, tests and trials
// by hand. They are no simulator: time is real and the traffic is HTTP.
package standin
