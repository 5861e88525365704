package sim

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// productionCommit returns the commit that deploy/service.toml names as the version in production.
func productionCommit(root string) (string, error) {
	var service struct {
		Production string `toml:"production"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy/service.toml"), &service); err != nil {
		return "", err
	}
	if service.Production == "" {
		return "", errors.New("deploy/service.toml does not name the version in production")
	}
	return service.Production, nil
}

// buildDriver builds testdata/upgrade/driver.go.txt with the core of a commit in the history of the
// repository at root. It builds in dir and returns the path of the program.
func buildDriver(root, commit, dir string) (string, error) {
	if err := runCommand(root, "git", "cat-file", "-e", commit+"^{commit}"); err != nil {
		return "", fmt.Errorf("cannot build the old version: commit %s is not in the repository's history: "+
			"the full history is needed, in a shallow clone run `git fetch --unshallow` (%w)", commit, err)
	}
	sources := filepath.Join(dir, "src")
	if err := os.MkdirAll(sources, 0o755); err != nil {
		return "", err
	}
	archive := filepath.Join(dir, "src.tar")
	if err := runCommand(root, "git", "archive", "--format=tar", "--output="+archive, commit); err != nil {
		return "", err
	}
	if err := runCommand(sources, "tar", "-xf", archive); err != nil {
		return "", err
	}
	driver, err := os.ReadFile("testdata/upgrade/driver.go.txt")
	if err != nil {
		return "", err
	}
	driverDir := filepath.Join(sources, "cmd", "driver")
	if err := os.MkdirAll(driverDir, 0o755); err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(driverDir, "main.go"), driver, 0o644); err != nil {
		return "", err
	}
	program := filepath.Join(dir, "driver")
	err = runCommand(sources, "go", "build", "-trimpath", "-buildvcs=false", "-o", program, "./cmd/driver")
	return program, err
}

// runCommand runs a command in a directory. If it fails, the error includes its output.
func runCommand(dir, name string, args ...string) error {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "GOPROXY=off", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, bytes.TrimSpace(out))
	}
	return nil
}

// TestMissingHistory builds a commit that is not in the history, as in a shallow clone. The error
// has to name the commit and the command that fetches the full history.
func TestMissingHistory(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	missing := strings.Repeat("0123456789", 4)
	_, err = buildDriver(root, missing, t.TempDir())
	for _, part := range []string{missing, "full history is needed", "git fetch --unshallow"} {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("error of a build without history: want it to contain %q, got %v", part, err)
		}
	}
}
