package mtmesh_test

import (
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtmesh"
)

// Guards against a large fleet in which the server with hardly any keys, that a survey is for, is seldom asked.
func TestSurveyAsksServerWithFewKeys(t *testing.T) {
	for range 50 {
		var serving []mtdirectory.Member
		for i := range 40 {
			name := strconv.Itoa(i)
			serving = append(serving, mtdirectory.Member{Record: mtbackend.Record{
				Daemon: mtid.Daemon(name), Incarnation: mtid.ServerIncarnation{Server: mtid.Server(name)},
			}})
		}
		unreported := serving[7].Owner()
		asked := mtmesh.ChooseSurveyed(serving, []mtrange.Owner{unreported})
		assert.Assert(t, slices.ContainsFunc(asked, func(m mtdirectory.Member) bool { return m.Owner() == unreported }))
		assert.Equal(t, len(asked), 12)
	}
}
