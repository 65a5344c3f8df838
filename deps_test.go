package hornbeamwood_test

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/leanovate/gopter"
	_ "github.com/leanovate/gopter/commands"
	_ "github.com/leanovate/gopter/gen"
	_ "github.com/leanovate/gopter/prop"
	_ "github.com/quic-go/quic-go/http3"
	_ "github.com/wcharczuk/go-chart/v2"
	_ "golang.org/x/sync/errgroup"
)
