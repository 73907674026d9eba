"use strict";
// Leaves out fetch, web sockets and caches.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");

Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));

exports.Client = require("undici/lib/dispatcher/client.js");
exports.Pool = require("undici/lib/dispatcher/pool.js");
exports.buildConnector = require("undici/lib/core/connect.js");
