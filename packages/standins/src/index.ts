/** Stand-ins for the platform and the endpoints that hazellift works with, for tests and measurements only. */
export * from './cluster/childProcess.js'
export * from './cluster/cluster.js'
export * from './cluster/relay.js'
export * from './endpoint/startEndpoint.js'
export * from './platform/faults.js'
export * from './platform/startPlatform.js'
