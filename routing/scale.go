package routing

// Scale holds a service's limits for automatic scaling and the prices of its backends.
type Scale struct {
	// Least and Most limit the number of backends in each zone, of both kinds together.
	Least int `cbor:"1,keyasint"`
	Most  int `cbor:"2,keyasint"`
	// BootMillis is the time from an order until the new backend serves its first request.
	BootMillis int64 `cbor:"3,keyasint"`
	// ReclaimablePrice is the price of backends that the platform may reclaim at short notice, as a
	// fraction of the on-demand price; 0 if there are none.
	ReclaimablePrice float64 `cbor:"4,keyasint,omitempty"`
	// ZonePrices holds the price of a backend per second in each zone; 1 for zones not listed.
	ZonePrices map[string]float64 `cbor:"5,keyasint,omitempty"`
}

// PriceIn returns the price of a backend per second in the zone.
func (s Scale) PriceIn(zone string, reclaimable bool) float64 {
	price, ok := s.ZonePrices[zone]
	if !ok {
		price = 1
	}
	if reclaimable {
		price *= s.ReclaimablePrice
	}
	return price
}
