/** Starts an agent inside another program. */
export * from './startAgent.js'
