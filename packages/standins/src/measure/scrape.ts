import { request } from 'undici'

/** Values of one metric by its labels. */
export type Samples = Map<string, number>

/** All metrics of a program, by name. */
export type Scrape = Map<string, Samples>

const SAMPLE_LINE = /^([a-z_:][\w:]*)(?:\{(.*)\})? (\S+)$/i

/** Reads Prometheus' text format. */
export const parseMetrics = (text: string): Scrape => {
  const scrape: Scrape = new Map()
  for (const line of text.split('\n')) {
    const match = SAMPLE_LINE.exec(line)
    if (match === null) continue
    const [, name, labels = '', value] = match as unknown as [string, string, string | undefined, string]
    const samples = scrape.get(name) ?? new Map<string, number>()
    samples.set(labels, Number(value))
    scrape.set(name, samples)
  }
  return scrape
}

/** Metrics of a program, or none if it does not answer. */
export const scrape = async (address: string): Promise<Scrape> => {
  try {
    const res = await request(`http://${address}/metrics`)
    return parseMetrics(await res.body.text())
  } catch {
    return new Map()
  }
}

/** Sum of a metric over all its labels. */
export const total = (metrics: Scrape, name: string): number =>
  [...(metrics.get(name) ?? new Map<string, number>()).values()].reduce((sum, value) => sum + value, 0)

/** Sums of a metric over several programs, by the value of one label. */
export const sumByLabel = (scrapes: Scrape[], name: string, label: string): Record<string, number> => {
  const sums: Record<string, number> = {}
  for (const metrics of scrapes) {
    for (const [labels, value] of metrics.get(name) ?? []) {
      const key = new RegExp(`${label}="([^"]*)"`).exec(labels)?.[1] ?? ''
      sums[key] = (sums[key] ?? 0) + value
    }
  }
  return sums
}

/** What grew from one set of sums to a later one. */
export const increase = (before: Record<string, number>, after: Record<string, number>): Record<string, number> =>
  Object.fromEntries(Object.entries(after).map(([key, value]) => [key, value - (before[key] ?? 0)]).filter(([, value]) => value !== 0))
