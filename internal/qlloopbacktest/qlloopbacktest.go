// Package qlloopbacktest gives the processes of tests loopback addresses of their own.
//
// # Usage
//
//	listener, err := net.Listen("tcp4", qlloopbacktest.IP(1)+":0")
package qlloopbacktest

import (
	"fmt"
	"os"
)

// IP returns the nth loopback IP, 1 to 254, of this process. Ports that were free a moment ago stay
// free there: on 127.0.0.1 other processes listen, and the kernel may give the port to one of their
// connections.
func IP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, os.Getpid()%250, n)
}
