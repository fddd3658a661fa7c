package main

// The handler of SIGHUP is installed once the program runs, and a hangup before that would end
// the process. A constructor of the C library ignores it from the start of the process on; the
// settings are yet to be read then.

// #include <signal.h>
//
// __attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
import "C"
