package metrics

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process holds the resource usage of the router's process.
type Process struct {
	// CPUSeconds is the user and system processor time used so far.
	CPUSeconds float64 `json:"cpu_seconds"`
	// ResidentBytes is the resident set size.
	ResidentBytes int64 `json:"resident_bytes"`
	Goroutines    int   `json:"goroutines"`
}

// ReadProcess reads the resource usage from the operating system.
func ReadProcess() Process {
	return Process{
		CPUSeconds: ProcessorTime().Seconds(), ResidentBytes: residentBytes(), Goroutines: runtime.NumGoroutine(),
	}
}

// ProcessorTime returns the user and system processor time that the process used so far, 0 if
// the operating system does not report it.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident set size, 0 if the operating system does not report it.
func residentBytes() int64 {
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
