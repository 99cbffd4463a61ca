// The parts of undici that the bundles of the two roles use. Loading all of it
// takes a third of a process's startup time.
import api from '../node_modules/undici/lib/api/index.js'
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js'
import Pool from '../node_modules/undici/lib/dispatcher/pool.js'

// Adds the API methods in the same way as undici's index.js.
Object.assign(Dispatcher.prototype, api)

export { Pool }
