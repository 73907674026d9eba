"use strict";
// Leaves out the writer of logs, whose number format loads the data of all languages.
exports.build = require("hdr-histogram-js/dist/HistogramBuilder.js").build;
