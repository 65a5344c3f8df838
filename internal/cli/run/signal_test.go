package run

import (
	"bufio"
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

const (
	// roleVariable makes the test program a process that writes lines, or one that waits for signals.
	roleVariable = "RUN_TEST_ROLE"
	exitWritten  = 7
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "writer":
		UntilSignal()
		for range 3 {
			_, _ = os.Stdout.WriteString("line\n")
		}
		os.Exit(exitWritten)
	case "stopping":
		ctx := UntilSignal()
		_, _ = os.Stdout.WriteString("ready\n")
		<-ctx.Done()
		_, _ = os.Stdout.WriteString("stopping\n")
		select {}
	}
	os.Exit(m.Run())
}

// Guards against a process that ends without a word because the reader of its log is gone.
func TestLostLogReaderEndsNothing(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), roleVariable+"=writer")
	c.Stdout = w
	err = c.Run()
	w.Close()
	var ended *exec.ExitError
	if !errors.As(err, &ended) || ended.ExitCode() != exitWritten {
		t.Errorf("the process ended with %v", err)
	}
}

// Guards against a second signal that ends a process without a line that says so.
func TestSecondSignalTellsItsReason(t *testing.T) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), roleVariable+"=stopping")
	var errorOutput bytes.Buffer
	c.Stderr = &errorOutput
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(out)
	for range 2 {
		if _, err := lines.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		if err := c.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.Wait()
	if !strings.Contains(errorOutput.String(), "a second signal") {
		t.Errorf("standard error output %q", errorOutput.String())
	}
}
