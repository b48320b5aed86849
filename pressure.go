package slipwick

// PressureSource is implemented by permit sources that know whether a pool is under pressure.
type PressureSource interface {
	// UnderPressure reports whether requests for the pool have to wait or may have to soon.
	UnderPressure(pool string) bool
}
