/** The entry process and the client of its HTTP API, for programs that embed them. */
export * from './cli/apiClient.js'
export * from './startEntry.js'
