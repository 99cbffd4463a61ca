import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'

/** Describes one metric; names carry their unit and labels have few values. */
interface MetricOptions {
  name: string
  help: string
  labels?: readonly string[]
}

/** Makes metrics of one registry. */
export interface Metrics {
  registry: Registry
  counter: (options: MetricOptions) => Counter
  /** `collect` is called at each scrape. */
  gauge: (options: MetricOptions, collect?: (gauge: Gauge) => void) => Gauge
  histogram: (options: MetricOptions & { buckets: readonly number[] }) => Histogram
}

/** Bounds in seconds that suit queue and run times of sub-second tasks. */
export const TIME_BUCKETS_SECONDS = [0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30] as const

/**
 * A registry with the process's own metrics.
 *
 * @param options - `ofProcess: false` leaves the process's own out: their
 *   sampling wakes the process a hundred times a second
 * @returns makers of further metrics
 */
export const createMetrics = ({ includeProcess: includeProcess = true }: { includeProcess?: boolean } = {}): Metrics => {
  const registry = new Registry()
  if (includeProcess) collectDefaultMetrics({ register: registry })
  const toConfiguration = ({ name, help, labels = [] }: MetricOptions) =>
    ({ name, help, labelNames: [...labels], registers: [registry] })
  return {
    registry,
    counter: (options) => new Counter(toConfiguration(options)),
    gauge: (options, collect) => new Gauge({
      ...toConfiguration(options),
      ...(collect && { collect () { collect(this) } })
    }),
    histogram: (options) => new Histogram({ ...toConfiguration(options), buckets: [...options.buckets] })
  }
}
