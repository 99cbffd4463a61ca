// What the bundles of the two roles need of undici, and nothing else. Loading
// all of it takes a third of a process's start.
import api from '../node_modules/undici/lib/api/index.js'
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js'
import Pool from '../node_modules/undici/lib/dispatcher/pool.js'

// As undici's own index does.
Object.assign(Dispatcher.prototype, api)

export { Pool }
