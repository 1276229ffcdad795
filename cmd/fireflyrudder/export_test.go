package main

// Run executes one command and returns its exit code.
var Run = run
