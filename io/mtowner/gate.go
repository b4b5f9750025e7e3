package mtowner

import (
	"sync"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	iogate "magnoliaturn/io/mtgate"
)

// serviceGate controls the admission of requests to one service, configured by the
// service's declaration in the bundle.
type serviceGate struct {
	*iogate.AdmissionController[*mtgate.Fair]
	mu       sync.Mutex
	declared *mtbundle.Service
}

func newServiceGate(c clock, onRangeIdle func(low, high mtid.Point)) *serviceGate {
	order := mtgate.NewFair(mtgate.DefaultGuaranteed)
	return &serviceGate{AdmissionController: iogate.New(c, order, mtgate.Limits{}, onRangeIdle)}
}

// configure applies the backend server's capacity and, if it has changed, the
// service's declaration. It is called for each request.
func (g *serviceGate) configure(a mtannounce.Announcement, business mtid.Business, service *mtbundle.Service) {
	if g.setDeclared(service) {
		for _, class := range service.Classes {
			g.Declare(business, class)
		}
	}
	g.Resize(a.Slots, a.Connections)
}

// setDeclared stores the declaration and reports whether it differs from the
// previous one.
func (g *serviceGate) setDeclared(service *mtbundle.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.declared != service
	g.declared = service
	return changed
}
