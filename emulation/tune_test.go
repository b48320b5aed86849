package emulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

func env(name string, d float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return d
}

func TestTune(t *testing.T) {
	for _, c := range Cases() {
		if *only != c.Name {
			continue
		}
		synctest.Test(t, func(*testing.T) {
			setup := c.Setup
			p := &setup.Policy
			setup.Seed = uint64(env("SEED", 1))
			p.FallChange = env("FALL", p.FallChange)
			p.RiseChange = env("RISE", p.RiseChange)
			p.Margin = env("MARGIN", p.Margin)
			p.ReportLag = time.Duration(env("LAG", 400)) * time.Millisecond
			p.HeldShare = env("HELD", p.HeldShare)
			p.FastFall = env("FAST", p.FastFall)
			p.ReportGap = time.Duration(env("GAP", 250)) * time.Millisecond
			p.HomeWait = time.Duration(env("HOME", 300)) * time.Millisecond
			p.OtherWait = time.Duration(env("OTHER", 50)) * time.Millisecond
			p.Tries = int(env("TRIES", 3))
			w := NewWorld(setup)
			w.StartChats()
			w.WarmUp()
			c.Run(w)
			r := w.Report()
			w.Close()
			fmt.Println(r.Benchmark(os.Getenv("TAG") + "/" + c.Name))
		})
	}
}
