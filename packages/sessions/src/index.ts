/** Sessions between agents and entries, and streams between entries, over Connect: one bidirectional stream for each pair. */
export * from './createSessions.js'
export * from './dialEntry.js'
export * from './entryDialer.js'
export * from './keepAliveMonitor.js'
export * from './handOnStreams.js'
export * from './neighbours.js'
export * from './openConnection.js'
export * from './types.js'
