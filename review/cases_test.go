// Package review holds the cases of the independent review. They are scripts; see REPORT.md.
package review

import (
	"flag"
	"os"
	"os/exec"
	"testing"
)

// This file names the cases for KNOWN-RED.txt. They are played only with -play, after the build of the deploy file:
//
//	go test ./review -run TestReviewCopies -v -args -play

var play = flag.Bool("play", false, "play the cases of the review")

func playCase(t *testing.T, folder string) {
	t.Helper()
	if !*play {
		t.Skip("a case of the review is played with -args -play")
	}
	for _, script := range []string{"./build.sh", "./" + folder + "/run.sh"} {
		command := exec.Command(script)
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		if err := command.Run(); err != nil {
			t.Fatalf("%s: %v", script, err)
		}
	}
}

func TestReviewCopies(t *testing.T) { playCase(t, "1") }

func TestReviewLate(t *testing.T) { playCase(t, "2") }

func TestReviewRepeat(t *testing.T) { playCase(t, "3") }
