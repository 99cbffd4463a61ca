/** A discrete-event simulation of entries, agents and endpoints that measures the real decisions under loads and faults; for development only. */
export * from './figures.js'
export * from './runScenario.js'
export * from './scenario.js'
export * from './traffic.js'
