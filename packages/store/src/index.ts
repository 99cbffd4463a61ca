/** Clients of the platform's table service and object store, and group commit. */
export * from './createHttpCaller.js'
export * from './createHttpObjects.js'
export * from './createHttpTable.js'
export * from './errors.js'
export * from './groupCommit.js'
export * from './types.js'
