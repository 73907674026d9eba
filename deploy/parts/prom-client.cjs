"use strict";
// Leaves out the default metrics, clusters and the push gateway.
exports.Counter = require("prom-client/lib/counter.js");
exports.Gauge = require("prom-client/lib/gauge.js");
exports.Registry = require("prom-client/lib/registry.js");
exports.Histogram = require("prom-client/lib/histogram.js");
