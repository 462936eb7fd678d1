package bench

import "image/color"

// plotColor marks p99 beside the black of p50.
var plotColor = color.Gray{Y: 160}
