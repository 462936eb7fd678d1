package bench

import "image/color"

// plotColor marks p99 beside the black of p50.
var p99Color = color.Gray{Y: 160}
