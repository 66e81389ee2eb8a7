package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

// File is a settings file of any role that has passed all checks of its own.
type File struct {
	balancer *Balancer
	sidecar  *Sidecar
	flow     *FlowProcess
}

// Path returns the path that the settings were read from.
func (f File) Path() string {
	if f.flow != nil {
		return f.flow.source.file
	}
	return f.Process().source.file
}

// Role returns the role that the file names.
func (f File) Role() Role {
	if f.flow != nil {
		return f.flow.Role
	}
	return f.Process().Role
}

// Host returns the name of the process's host.
func (f File) Host() string {
	if f.flow != nil {
		return f.flow.Host
	}
	return f.Process().Host
}

// Flow returns the settings of a process for flows without a connection ID, or nil if
// the file has another role.
func (f File) Flow() *FlowProcess { return f.flow }

// Balancer returns the settings of a balancer, or nil if the file has another role.
func (f File) Balancer() *Balancer { return f.balancer }

// Sidecar returns the settings of a sidecar, or nil if the file has another role.
func (f File) Sidecar() *Sidecar { return f.sidecar }

// Process returns the settings that balancers and sidecars have in common. It returns nil
// for a process for flows without a connection ID.
func (f File) Process() *Process {
	if f.flow != nil {
		return nil
	}
	if f.balancer != nil {
		return &f.balancer.Process
	}
	return &f.sidecar.Process
}

// CheckPorts opens and closes the listen addresses of the process, and reports those
// that cannot be opened. It does not open the outbound and control addresses of a
// sidecar for flows without a connection ID, nor the UDP port of a relay address.
func (f File) CheckPorts() Faults {
	if f.flow != nil {
		return f.flow.checkPorts()
	}
	if f.balancer != nil {
		return CheckPorts(*f.balancer)
	}
	return CheckPorts(*f.sidecar)
}

// LoadFile reads and checks a settings file of any role. The error is of type Faults.
func LoadFile(path string) (File, error) {
	data, faults := readSettings(path)
	if len(faults) > 0 {
		return File{}, faults
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a settings file of any role. path is only used
// in faults. The error is of type Faults.
func Parse(path string, data []byte) (File, error) {
	file, faults := parseFile(path, data)
	if len(faults) > 0 {
		return File{}, faults
	}
	return file, nil
}

func parseFile(path string, data []byte) (File, Faults) {
	var head struct {
		Role Role `yaml:"role" rule:"role,required"`
	}
	d := decoder{source: source{file: path, lines: map[string]int{}}}
	d.decode(data, &head)
	if d.malformed {
		return File{}, d.faults
	}
	switch head.Role {
	case RoleBalancer:
		settings, faults := parse[Balancer](path, data)
		return File{balancer: &settings}, faults
	case RoleSidecar:
		settings, faults := parse[Sidecar](path, data)
		return File{sidecar: &settings}, faults
	case RoleFlowBalancer:
		settings, faults := parse[FlowBalancer](path, data)
		return File{flow: &settings.FlowProcess}, faults
	case RoleFlowSidecar:
		settings, faults := parse[FlowSidecar](path, data)
		return File{flow: &settings.FlowProcess}, faults
	}
	// Without a valid role, the other keys cannot be checked.
	for _, fault := range d.faults {
		if fault.Key == "role" {
			return File{}, Faults{fault}
		}
	}
	return File{}, d.faults
}

// CheckFiles reads the settings files of several processes. It checks each file by
// itself, and then the valid ones for conflicts with each other. It returns the files
// that have no faults of their own. The error is of type Faults.
func CheckFiles(paths []string) ([]File, error) {
	var files []File
	var faults Faults
	for _, path := range paths {
		file, err := LoadFile(path)
		var fileFaults Faults
		if errors.As(err, &fileFaults) {
			faults = append(faults, fileFaults...)
			continue
		}
		files = append(files, file)
	}
	faults = append(faults, sharedAddresses(files)...)
	faults = append(faults, differentKeyRings(slices.DeleteFunc(slices.Clone(files), func(f File) bool { return f.flow != nil }))...)
	if len(faults) > 0 {
		return files, faults
	}
	return files, nil
}

// sharedAddresses reports addresses that two of the processes cannot both use.
func sharedAddresses(files []File) Faults {
	var faults Faults
	for i, file := range files {
		for _, other := range files[:i] {
			faults = append(faults, sharedListenAddresses(file, other)...)
			if fault, ok := sharedEntryAddress(file, other); ok {
				faults = append(faults, fault)
			}
		}
	}
	return faults
}

// sharedListenAddresses reports listen addresses of file that other also uses.
func sharedListenAddresses(file, other File) Faults {
	var faults Faults
	for _, a := range file.listenAddresses() {
		for _, b := range other.listenAddresses() {
			if !overlap(a.address, b.address) || (file.Host() != other.Host() && isolatedByHost(a, b)) {
				continue
			}
			faults = append(faults, file.source().fault(a.key,
				fmt.Sprintf("%s is also the address of %s in %s; want a different address for each process", a.address, b.key, other.Path())))
		}
	}
	return faults
}

func (f File) listenAddresses() []keyedAddress {
	if f.flow != nil {
		return f.flow.listenAddresses()
	}
	return f.Process().listenAddresses()
}

func (f File) source() source {
	if f.flow != nil {
		return f.flow.source
	}
	return f.Process().source
}

// isolatedByHost reports whether processes on different hosts can use two overlapping
// addresses. The observe address is not announced to peers. It may therefore be a
// loopback or unspecified address on each host.
func isolatedByHost(a, b keyedAddress) bool {
	if a.key != "observe-address" && b.key != "observe-address" {
		return false
	}
	local := func(address netip.Addr) bool { return address.IsLoopback() || address.IsUnspecified() }
	return local(a.address.Addr()) || local(b.address.Addr())
}

// sharedEntryAddress reports two balancers on the same host with the same entry address.
// Balancers on different hosts may share an entry address, which the network fabric then
// routes to all of them.
func sharedEntryAddress(file, other File) (Fault, bool) {
	if file.balancer == nil || other.balancer == nil || file.balancer.Host != other.balancer.Host ||
		file.balancer.EntryAddress != other.balancer.EntryAddress {
		return Fault{}, false
	}
	return file.balancer.source.fault("entry-address",
		fmt.Sprintf("%s is also the address of entry-address in %s; want a different address for each balancer of a host",
			file.balancer.EntryAddress, other.balancer.source.file)), true
}

// differentKeyRings reports each key ring that cannot be loaded, and each that differs
// from the first key ring that could be loaded.
func differentKeyRings(files []File) Faults {
	var faults Faults
	var first *keyring.Ring
	for _, file := range files {
		process := file.Process()
		ring, err := keyring.Load(process.KeyRingFile)
		if err != nil {
			faults = append(faults, process.source.fault("key-ring-file", err.Error()))
			continue
		}
		if first == nil {
			first = ring
			continue
		}
		if !ring.Equal(first) {
			faults = append(faults, process.source.fault("key-ring-file",
				fmt.Sprintf("%q differs from the key ring of %s; want the same generations, secrets and active generation in every process",
					process.KeyRingFile, files[0].Process().source.file)))
		}
	}
	return faults
}
