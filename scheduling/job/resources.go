package job

// Resources is an amount of resources, such as the capacity of a worker or the demand of a task.
type Resources struct {
	CPU      int64 `json:"Cpu" cbor:"1,keyasint,omitempty"`   // thousandths of a core
	MemoryMB int64 `json:"MemMb" cbor:"2,keyasint,omitempty"` // megabytes
	GPU      int64 `json:"Gpu" cbor:"3,keyasint,omitempty"`   // whole devices
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.MemoryMB + other.MemoryMB, r.GPU + other.GPU}
}

// Minus returns r minus other. Amounts of the result may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.MemoryMB - other.MemoryMB, r.GPU - other.GPU}
}

// Covers reports whether r is at least other in every dimension.
func (r Resources) Covers(other Resources) bool {
	return other.CPU <= r.CPU && other.MemoryMB <= r.MemoryMB && other.GPU <= r.GPU
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPU * n, r.MemoryMB * n, r.GPU * n}
}
