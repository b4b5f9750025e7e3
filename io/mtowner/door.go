package mtowner

import (
	"sync"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	iogate "magnoliaturn/io/mtgate"
)

// door is the admission of one service, with the declaration in force there.
type door struct {
	*iogate.AdmissionController[*mtgate.Fair]
	mu       sync.Mutex
	declared *mtbundle.Service
}

func newDoor(c clock, quiet func(low, high mtid.Point)) *door {
	order := mtgate.NewFair(mtgate.DefaultGuaranteed)
	return &door{AdmissionController: iogate.New(c, order, mtgate.Limits{}, quiet)}
}

// fit brings the gate's limits in line with the backend server and the bundle.
// It is called for each request.
func (d *door) fit(a mtannounce.Announcement, business mtid.Business, service *mtbundle.Service) {
	if d.changed(service) {
		for _, class := range service.Classes {
			d.Declare(business, class)
		}
	}
	d.Resize(a.Slots, a.Connections)
}

// changed notes the declaration and reports whether it is a new one.
func (d *door) changed(service *mtbundle.Service) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.declared != service
	d.declared = service
	return changed
}
