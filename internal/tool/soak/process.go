package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
)

// process is an entry VM that runs as a separate process.
type process struct {
	name         string
	domain       string
	settingsPath string
	callerURL    string
	callerProxy  *proxy // before callerURL, for the callers that may lose their connections
	peerProxy    *proxy
	storeProxy   *proxy
	logPath      string
	procs        int                    // GOMAXPROCS of the process; 0: the default, and its output is not watched
	onStart      atomic.Pointer[func()] // called once when the VM orders a start; nil: nobody waits for that

	startMu sync.Mutex // held while a new process is started
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

// run starts a process of the VM.
func (p *process) run(binary string) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "kept", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if p.procs > 0 {
		watcher := &startWatcher{log: log, onStart: &p.onStart}
		cmd.Stdout, cmd.Stderr = watcher, watcher
		cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", p.procs))
	}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // a killed process always returns an error
		_ = log.Close()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited = cmd, exited
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // it may have ended already
	}
}

// exitChannel returns a channel that is closed when the current process has ended.
func (p *process) exitChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}
