// Command wisteriafold is the operator's tool.
package main

func main() {}
