/** Typed clients of the platform's table service and object store. */
export * from './createHttpCaller.js'
export * from './createHttpObjects.js'
export * from './createHttpTable.js'
export * from './errors.js'
export * from './groupCommit.js'
export * from './types.js'
