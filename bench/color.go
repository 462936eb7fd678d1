package bench

import "image/color"

// p99Color is the color of the p99 bars in plots; those of p50 are black.
var p99Color = color.Gray{Y: 160}
