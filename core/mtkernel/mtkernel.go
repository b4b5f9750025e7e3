// Package mtkernel implements the micro-kernel of a process: services register
// under a name, look each other up by name and type, and run and stop together.
//
// # Usage
//
//	k := mtkernel.New()
//	err := mtkernel.Register[mtstore.Store](k, "store", store, cleanUp)
//	store, err := mtkernel.Lookup[mtstore.Store](k, "store")
//	err = k.Run(ctx)
//
// Register and Lookup are called while a process is assembled. They are safe for
// concurrent use. When the first task ends or ctx is done, Run stops all tasks,
// calls the clean-ups in reverse order of registration, and returns.
package mtkernel

import (
	"context"
	"fmt"
	"sync"

	"github.com/oklog/run"
)

// Name identifies a service within a kernel.
type Name string

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.Mutex
	services map[Name]any
	order    []Name
	cleanUps map[Name]func()
	tasks    run.Group
}

// MissingError reports that no service is registered under a name.
type MissingError struct{ Name Name }

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("kernel: no service is registered as %q", e.Name)
}

// TypeError reports that a service does not have the requested type.
type TypeError struct {
	Name Name
	Want string
	Got  string
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("kernel: service %q has type %s, not %s", e.Name, e.Got, e.Want)
}

// DuplicateError reports that a name is already in use by another service.
type DuplicateError struct{ Name Name }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("kernel: service %q is already registered", e.Name)
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[Name]any), cleanUps: make(map[Name]func())}
}

// Register adds a service under a name. It fails with a *DuplicateError if the
// name is in use. cleanUp may be nil; otherwise Close calls it once.
func Register[T any](k *Kernel, name Name, service T, cleanUp func()) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return &DuplicateError{Name: name}
	}
	k.services[name] = service
	k.order = append(k.order, name)
	k.cleanUps[name] = cleanUp
	return nil
}

// Lookup returns the service registered under name. It fails with a *MissingError
// or a *TypeError.
func Lookup[T any](k *Kernel, name Name) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var none T
	found, ok := k.services[name]
	if !ok {
		return none, &MissingError{Name: name}
	}
	service, ok := found.(T)
	if !ok {
		return none, &TypeError{Name: name, Want: fmt.Sprintf("%T", &none)[1:], Got: fmt.Sprintf("%T", found)}
	}
	return service, nil
}

// MustLookup is like Lookup, but panics on failure. It is for services that an
// earlier step of assembling the process has registered: a missing one means
// that the steps are in the wrong order, which the first start of the program
// reveals.
func MustLookup[T any](k *Kernel, name Name) T {
	service, err := Lookup[T](k, name)
	if err != nil {
		panic(err)
	}
	return service
}

// AddTask adds a task for Run to run in a goroutine of its own: execute runs the
// task, and interrupt makes execute return. It must be called before Run.
func (k *Kernel) AddTask(execute func() error, interrupt func(error)) {
	k.tasks.Add(execute, interrupt)
}

// Run runs the tasks until one ends or ctx is done, then stops the others and calls
// Close. It returns the error of the first task that ended, or nil if ctx was done
// first.
func (k *Kernel) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.tasks.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	err := k.tasks.Run()
	k.Close()
	return err
}

// Close calls the clean-ups in reverse order of registration, each only once. Run
// calls it. A process that fails before Run must call it itself.
func (k *Kernel) Close() {
	k.mu.Lock()
	order := k.order
	k.order = nil
	k.mu.Unlock()
	for i := len(order) - 1; i >= 0; i-- {
		if cleanUp := k.cleanUps[order[i]]; cleanUp != nil {
			cleanUp()
		}
	}
}
