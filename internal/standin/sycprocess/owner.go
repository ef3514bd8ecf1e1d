package sycprocess

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Columns of /proc/net/tcp.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
)

// attempts is how often the table is read; it can miss an entry while others change.
const attempts = 3

// Owner returns the process, one of the given, that opened the connection
// whose accepted end is given. It reads /proc and reports 0 for none of them.
func Owner(accepted net.Conn, pids []int) int {
	for range attempts {
		inode := inodeOf(accepted.RemoteAddr(), accepted.LocalAddr())
		if inode == "" {
			continue
		}
		link := "socket:[" + inode + "]"
		at := slices.IndexFunc(pids, func(pid int) bool { return holds(pid, link) })
		if at >= 0 {
			return pids[at]
		}
	}
	return 0
}

// inodeOf finds the socket with the addresses.
func inodeOf(local, remote net.Addr) string {
	from, ok := local.(*net.TCPAddr)
	if !ok || from.IP.To4() == nil {
		return ""
	}
	to, ok := remote.(*net.TCPAddr)
	if !ok || to.IP.To4() == nil {
		return ""
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	wantedFrom, wantedTo := kernelAddress(from), kernelAddress(to)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeColumn {
			continue
		}
		if fields[localColumn] == wantedFrom && fields[remoteColumn] == wantedTo {
			return fields[inodeColumn]
		}
	}
	return ""
}

// kernelAddress writes an address as /proc/net/tcp does.
func kernelAddress(address *net.TCPAddr) string {
	var ip [4]byte
	binary.NativeEndian.PutUint32(ip[:], binary.BigEndian.Uint32(address.IP.To4()))
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip[:])), address.Port)
}

func holds(pid int, link string) bool {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(d); err == nil && target == link {
			return true
		}
	}
	return false
}
