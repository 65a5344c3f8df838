package hornbeamwood

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/integrii/flaggy"
	_ "github.com/leanovate/gopter"
	_ "github.com/leanovate/gopter/commands"
	_ "github.com/leanovate/gopter/gen"
	_ "github.com/leanovate/gopter/prop"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/quic-go/quic-go"
	_ "github.com/quic-go/quic-go/http3"
	_ "github.com/wcharczuk/go-chart/v2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
)
