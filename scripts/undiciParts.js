// What the bundles of the two roles need of undici, and nothing else. Loading
// all of it takes a third of a process's start.
import api from '../node_modules/undici/lib/api/index.js'
import buildConnector from '../node_modules/undici/lib/core/connect.js'
import Client from '../node_modules/undici/lib/dispatcher/client.js'
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js'
import Pool from '../node_modules/undici/lib/dispatcher/pool.js'

// As undici's own index does.
Object.assign(Dispatcher.prototype, api)

export { buildConnector, Client, Pool }
