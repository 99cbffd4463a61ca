/** An emulator of entries, agents and endpoints on an event clock, to measure decisions with; for development only. */
export * from './figures.js'
export * from './runScenario.js'
export * from './scenario.js'
export * from './traffic.js'
