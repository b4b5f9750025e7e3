// Package mtkernel is the micro-kernel: services register under a name, find
// each other by that name with a typed lookup, and are run and stopped
// together.
//
// # Usage
//
//	k := mtkernel.New()
//	err := mtkernel.Register[mtstore.Store](k, "store", store, cleanUp)
//	store, err := mtkernel.Lookup[mtstore.Store](k, "store")
//	err = k.Run(ctx)
//
// Register and Lookup are called while a process is put together; they are safe
// for concurrent use. Run returns when the first duty ends or ctx is done, and
// runs the clean-ups in reverse order of registration first.
package mtkernel

import (
	"context"
	"fmt"
	"sync"

	"github.com/oklog/run"
)

// Name names a service within a kernel.
type Name string

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.Mutex
	services map[Name]any
	order    []Name
	cleanUps map[Name]func()
	duties   run.Group
}

// MissingError says that no service has that name.
type MissingError struct{ Name Name }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("kernel: no service %q", e.Name) }

// TypeError says that a service has another type than the one asked for.
type TypeError struct {
	Name Name
	Want string
	Got  string
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("kernel: service %q is a %s, not a %s", e.Name, e.Got, e.Want)
}

// TakenError says that a service with that name is registered already.
type TakenError struct{ Name Name }

// Error implements error.
func (e *TakenError) Error() string { return fmt.Sprintf("kernel: service %q exists", e.Name) }

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[Name]any), cleanUps: make(map[Name]func())}
}

// Register adds a service under a name. cleanUp may be nil; it is called once,
// when Run ends. It fails with a *TakenError.
func Register[T any](k *Kernel, name Name, service T, cleanUp func()) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return &TakenError{Name: name}
	}
	k.services[name] = service
	k.order = append(k.order, name)
	k.cleanUps[name] = cleanUp
	return nil
}

// Lookup returns the service with that name. It fails with a *MissingError or
// a *TypeError.
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

// Need is Lookup for a service that an earlier step of putting the process
// together has registered. A missing one is a mistake in the order of the steps,
// which the first start of the program shows: it panics.
func Need[T any](k *Kernel, name Name) T {
	service, err := Lookup[T](k, name)
	if err != nil {
		panic(err)
	}
	return service
}

// Duty adds a goroutine to run: execute until it returns, interrupt to make it
// return. It is called before Run.
func (k *Kernel) Duty(execute func() error, interrupt func(error)) {
	k.duties.Add(execute, interrupt)
}

// Run runs the duties until one ends or ctx is done, then cleans up, and
// returns the error of the first duty that ended (nil after ctx).
func (k *Kernel) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.duties.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	err := k.duties.Run()
	k.Close()
	return err
}

// Close runs the clean-ups in reverse order of registration, each once. Run
// calls it; a process that fails before Run calls it itself.
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
