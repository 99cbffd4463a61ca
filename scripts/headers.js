// `Headers` for the bundles of the two roles. The global one would load Node.js's
// built-in undici, including fetch, at the first session.
export { Headers } from '../node_modules/undici/lib/web/fetch/headers.js'
