/** The entry and the client of its API, for programs that embed them. */
export * from './cli/apiClient.js'
export * from './startEntry.js'
