/** Stand-ins of what surrounds hazellift, for tests and trials only. */
export * from './cluster/childProcess.js'
export * from './cluster/cluster.js'
export * from './cluster/relay.js'
export * from './endpoint/startEndpoint.js'
export * from './platform/faults.js'
export * from './platform/startPlatform.js'
