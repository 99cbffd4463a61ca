import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'

/** Describes one metric. Its name contains the unit, and each label has few distinct values. */
interface MetricOptions {
  name: string
  help: string
  labels?: readonly string[]
}

/** A registry and the functions that create metrics in it. */
export interface Metrics {
  registry: Registry
  /** `collect`, if given, is called at each scrape. */
  counter: (options: MetricOptions, collect?: (counter: Counter) => void) => Counter
  /** `collect`, if given, is called at each scrape. */
  gauge: (options: MetricOptions, collect?: (gauge: Gauge) => void) => Gauge
  histogram: (options: MetricOptions & { buckets: readonly number[] }) => Histogram
}

/** Histogram buckets, in seconds, for queue and run times of sub-second tasks. */
export const TIME_BUCKETS_SECONDS = [0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30] as const

/**
 * Creates a registry, by default with the metrics of the Node.js process.
 *
 * @param options - `includeProcess: false` omits the process metrics, whose
 *   sampling wakes the process a hundred times a second
 * @returns the registry and functions that add metrics to it
 */
export const createMetrics = ({ includeProcess = true }: { includeProcess?: boolean } = {}): Metrics => {
  const registry = new Registry()
  if (includeProcess) collectDefaultMetrics({ register: registry })
  const toConfiguration = ({ name, help, labels = [] }: MetricOptions) =>
    ({ name, help, labelNames: [...labels], registers: [registry] })
  return {
    registry,
    counter: (options, collect) => new Counter({
      ...toConfiguration(options),
      ...(collect && { collect () { collect(this) } })
    }),
    gauge: (options, collect) => new Gauge({
      ...toConfiguration(options),
      ...(collect && { collect () { collect(this) } })
    }),
    histogram: (options) => new Histogram({ ...toConfiguration(options), buckets: [...options.buckets] })
  }
}
