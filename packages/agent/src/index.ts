/** The agent, for programs that embed it. */
export * from './startAgent.js'
