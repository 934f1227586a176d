package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// process is one entry VM as a process of its own.
type process struct {
	name     string
	settings string // file
	callers  string // URL
	peer     *proxy
	store    *proxy
	logPath  string

	starting sync.Mutex // held while a new process is started
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

// run starts the VM's process.
func (p *process) run(binary string) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "kept", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // a killed process has an error, which says nothing
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

// life is closed when the present process has ended.
func (p *process) life() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}
