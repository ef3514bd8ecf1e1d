package sycprocess

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Columns of /proc/net/tcp.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
)

// Owners tells which process opened a connection. It reads /proc once for all
// connections that wait for an answer.
type Owners struct {
	pids func() []int

	mu sync.Mutex
	// scanned is when the last scan began.
	scanned time.Time
	// sockets has the process of each socket found by the last scan.
	sockets map[socket]int
}

// socket is a connection as the kernel writes it, seen from the end that
// opened it.
type socket struct {
	local, remote string
}

// NewOwners looks among the processes that pids returns at each scan.
func NewOwners(pids func() []int) *Owners {
	return &Owners{pids: pids}
}

// Of returns the process that opened the connection whose accepted end is
// given, or 0 for none of those known.
func (o *Owners) Of(accepted net.Conn) int {
	local, ok := kernelAddress(accepted.RemoteAddr())
	if !ok {
		return 0
	}
	remote, ok := kernelAddress(accepted.LocalAddr())
	if !ok {
		return 0
	}
	arrived := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.scanned.After(arrived) {
		o.scan()
	}
	return o.sockets[socket{local, remote}]
}

// scan reads which sockets the processes hold. The caller holds mu.
func (o *Owners) scan() {
	o.scanned = time.Now()
	o.sockets = map[socket]int{}
	inodes := map[string]int{}
	for _, pid := range o.pids() {
		for _, inode := range socketsOf(pid) {
			inodes[inode] = pid
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return
	}
	for line := range bytes.Lines(table) {
		fields := bytes.Fields(line)
		if len(fields) <= inodeColumn {
			continue
		}
		if pid, ok := inodes[string(fields[inodeColumn])]; ok {
			o.sockets[socket{string(fields[localColumn]), string(fields[remoteColumn])}] = pid
		}
	}
}

// kernelAddress writes an address as /proc/net/tcp does.
func kernelAddress(a net.Addr) (string, bool) {
	address, ok := a.(*net.TCPAddr)
	if !ok || address.IP.To4() == nil {
		return "", false
	}
	var ip [4]byte
	binary.NativeEndian.PutUint32(ip[:], binary.BigEndian.Uint32(address.IP.To4()))
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip[:])), address.Port), true
}

// socketsOf lists the inodes of a process's sockets.
func socketsOf(pid int) []string {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	directory, err := os.Open(folder)
	if err != nil {
		return nil
	}
	defer directory.Close()
	names, err := directory.Readdirnames(-1)
	if err != nil {
		return nil
	}
	var inodes []string
	for _, name := range names {
		target, err := os.Readlink(filepath.Join(folder, name))
		if err != nil {
			continue
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes = append(inodes, strings.TrimSuffix(inode, "]"))
		}
	}
	return inodes
}
