package keyring

import (
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/goccy/go-yaml"
	"github.com/samber/oops"
)

// fileMode allows only the owner to read the secrets.
const fileMode = 0o600

// Document is the editable content of a key ring file. The zero value has no
// generations.
type Document struct {
	file fileRing
}

// Active returns the active generation.
func (d *Document) Active() Generation { return d.file.Active }

// Generations returns the numbers of all generations in ascending order.
func (d *Document) Generations() []Generation {
	numbers := make([]Generation, 0, len(d.file.Generations))
	for _, g := range d.file.Generations {
		numbers = append(numbers, g.Number)
	}
	slices.Sort(numbers)
	return numbers
}

// Add adds a generation with a secret read from random and returns its number. The
// number is the one after the highest or, if that is not possible, the lowest free one.
// If rotations always remove the oldest generation, a removed number is thus reused as
// late as possible. Add fails if MaxGenerations are in use.
func (d *Document) Add(random io.Reader) (Generation, error) {
	used := d.Generations()
	if len(used) == MaxGenerations {
		return 0, oops.Code("key-ring-full").Errorf("all %d generations are in use; remove one first", MaxGenerations)
	}
	var number Generation
	if len(used) > 0 {
		number = (used[len(used)-1] + 1) % MaxGenerations
	}
	for slices.Contains(used, number) {
		number = (number + 1) % MaxGenerations
	}
	secret := make([]byte, SecretSize)
	if _, err := io.ReadFull(random, secret); err != nil {
		return 0, oops.Wrapf(err, "read random bytes")
	}
	d.file.Generations = append(d.file.Generations, fileGeneration{
		Number: number, Secret: base64.StdEncoding.EncodeToString(secret),
	})
	return number, nil
}

// Activate makes a generation the active one. It fails if the generation does not
// exist.
func (d *Document) Activate(number Generation) error {
	if !slices.Contains(d.Generations(), number) {
		return oops.Code("generation-unknown").Errorf("generation %d does not exist; want one of %v", number, d.Generations())
	}
	d.file.Active = number
	return nil
}

// Remove removes a generation. It fails if the generation does not exist or is
// active.
func (d *Document) Remove(number Generation) error {
	if !slices.Contains(d.Generations(), number) {
		return oops.Code("generation-unknown").Errorf("generation %d does not exist; want one of %v", number, d.Generations())
	}
	if number == d.file.Active {
		return oops.Code("generation-active").Errorf("generation %d is active; activate another one first", number)
	}
	d.file.Generations = slices.DeleteFunc(d.file.Generations, func(g fileGeneration) bool { return g.Number == number })
	return nil
}

// Create writes the document to a new file with mode 0600. It fails if the file already
// exists.
func (d *Document) Create(path string) error {
	return withLock(path, func() error {
		temporary, err := d.writeTemporary(path)
		if err != nil {
			return err
		}
		defer os.Remove(temporary)
		// Unlike a rename, a hard link never replaces an existing file.
		if err := os.Link(temporary, path); err != nil {
			return oops.Code("key-ring-unwritable").Wrapf(linkCause(err), "create %s", path)
		}
		return nil
	})
}

// linkCause returns the cause of a link error without the name of the temporary file,
// because that name means nothing to the user.
func linkCause(err error) error {
	if link, ok := err.(*os.LinkError); ok {
		return link.Err
	}
	return err
}

// Update reads a key ring file, applies change to it and replaces the file atomically.
// If reading, changing or replacing fails, the file is unchanged. If only the final sync
// of the directory fails, the file is already replaced. Concurrent updates run one after
// another.
func Update(path string, change func(*Document) error) error {
	// If path is a symbolic link, a rename would replace the link instead of its target.
	target, err := filepath.EvalSymlinks(path)
	if err != nil {
		return oops.Code("key-ring-unreadable").Wrapf(err, "read key ring")
	}
	return withLock(target, func() error {
		data, err := os.ReadFile(target)
		if err != nil {
			return oops.Code("key-ring-unreadable").Wrapf(err, "read key ring")
		}
		document := &Document{}
		if _, err := Parse(data); err != nil {
			return oops.Code("key-ring-invalid").Wrapf(err, "%s", path)
		}
		if err := yaml.Unmarshal(data, &document.file); err != nil {
			return oops.Code("key-ring-invalid").Errorf("%s: not a valid key ring", path)
		}
		if err := change(document); err != nil {
			return oops.Wrapf(err, "%s", path)
		}
		temporary, err := document.writeTemporary(target)
		if err != nil {
			return err
		}
		if err := os.Rename(temporary, target); err != nil {
			_ = os.Remove(temporary)
			return oops.Code("key-ring-unwritable").Wrapf(linkCause(err), "replace %s", path)
		}
		return nil
	})
}

// withLock runs f while it holds an exclusive lock on the directory of path. If f
// succeeds, withLock syncs the directory, which makes a link or rename durable.
func withLock(path string, f func() error) error {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return oops.Code("key-ring-unwritable").Wrap(err)
	}
	defer directory.Close()
	if err := syscall.Flock(int(directory.Fd()), syscall.LOCK_EX); err != nil {
		return oops.Code("key-ring-unwritable").Wrapf(err, "lock %s", directory.Name())
	}
	if err := f(); err != nil {
		return err
	}
	if err := directory.Sync(); err != nil {
		return oops.Code("key-ring-unwritable").Wrapf(err, "write %s", path)
	}
	return nil
}

// writeTemporary writes the document to a new temporary file in the directory of path
// and returns its name. It fails if the document is not a valid key ring.
func (d *Document) writeTemporary(path string) (string, error) {
	slices.SortFunc(d.file.Generations, func(a, b fileGeneration) int { return int(a.Number) - int(b.Number) })
	data, err := yaml.Marshal(d.file)
	if err != nil {
		return "", oops.Wrap(err)
	}
	if _, err := Parse(data); err != nil {
		return "", oops.Wrapf(err, "new key ring")
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".key-ring-*")
	if err != nil {
		return "", oops.Code("key-ring-unwritable").Wrap(err)
	}
	if err := writeAndClose(f, data); err != nil {
		_ = os.Remove(f.Name())
		return "", oops.Code("key-ring-unwritable").Wrapf(err, "write %s", path)
	}
	return f.Name(), nil
}

func writeAndClose(f *os.File, data []byte) error {
	defer f.Close()
	if err := f.Chmod(fileMode); err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}
