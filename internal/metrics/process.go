package metrics

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process is what the router's process uses.
type Process struct {
	// CPUSeconds is the processor time used so far, user and system.
	CPUSeconds float64 `json:"cpu_seconds"`
	// ResidentBytes is the memory in use now.
	ResidentBytes int64 `json:"resident_bytes"`
	Goroutines    int   `json:"goroutines"`
}

// ReadProcess asks the system.
func ReadProcess() Process {
	return Process{
		CPUSeconds: ProcessorTime().Seconds(), ResidentBytes: resident(), Goroutines: runtime.NumGoroutine(),
	}
}

// ProcessorTime returns the processor time that the process used so far, user
// and system; 0 where the system does not tell.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// resident returns the resident set size, 0 where the system does not tell.
func resident() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
