import Table from 'cli-table3'
import type { Figures } from './figures.js'
import { estimate, estimateDifference } from './statistics.js'
import type { Estimate } from './statistics.js'
import type { WorkResult } from './worker.js'

/** Figures in the order of tables, with their decimals. */
const COLUMNS: Array<{ key: keyof Figures, digits: number }> = [
  { key: 'worth', digits: 3 },
  { key: 'inTime', digits: 3 },
  { key: 'worstKind', digits: 3 },
  { key: 'worstZone', digits: 3 },
  { key: 'worstWindows', digits: 3 },
  { key: 'largest', digits: 3 },
  { key: 'refused', digits: 3 },
  { key: 'refusedWithRoom', digits: 3 },
  { key: 'refusedLate', digits: 3 },
  { key: 'idleWhileWaiting', digits: 3 },
  { key: 'slowdown', digits: 2 },
  { key: 'framesPerTask', digits: 2 },
  { key: 'bytesPerTask', digits: 0 },
  { key: 'entryCores', digits: 4 },
  { key: 'agentCores', digits: 4 },
  { key: 'startsInVain', digits: 3 },
  { key: 'connections', digits: 0 },
  { key: 'wasted', digits: 1 },
  { key: 'violations', digits: 0 }
]

/** Markdown, to be pasted into a page. */
const MARKDOWN_STYLE = {
  style: { head: [], border: [] },
  chars: { top: '', 'top-mid': '', 'top-left': '', 'top-right': '', bottom: '', 'bottom-mid': '', 'bottom-left': '', 'bottom-right': '', left: '|', 'left-mid': '', mid: '', 'mid-mid': '', right: '|', 'right-mid': '', middle: '|' }
}

const cell = ({ mean, halfWidth }: Estimate, digits: number, isDifference = false): string => {
  const sign = isDifference && mean >= 0 ? '+' : ''
  const interval = Number.isNaN(halfWidth) ? '' : ` ±${halfWidth.toFixed(digits)}`
  // A difference whose interval leaves out zero is marked.
  const mark = isDifference && Math.abs(mean) > halfWidth ? ' *' : ''
  return `${sign}${mean.toFixed(digits)}${interval}${mark}`
}

const valuesOf = (results: WorkResult[], key: keyof Figures): number[] => results.map(({ figures }) => figures[key])

/** Figures of one variant, a line each. */
export const figureTable = (results: WorkResult[]): string => {
  const table = new Table({ ...MARKDOWN_STYLE, head: ['figure', `mean of ${results.length} seeds`] })
  for (const { key, digits } of COLUMNS) table.push([key, cell(estimate(valuesOf(results, key)), digits)])
  return table.toString()
}

/** Two variants on the same seeds, and their differences; those that are no chance are marked with a star. */
export const comparisonTable = (base: WorkResult[], other: WorkResult[]): string => {
  const table = new Table({ ...MARKDOWN_STYLE, head: ['figure', base[0]!.variant, other[0]!.variant, 'difference'] })
  for (const { key, digits } of COLUMNS) {
    const [first, second] = [valuesOf(base, key), valuesOf(other, key)]
    table.push([key, cell(estimate(first), digits), cell(estimate(second), digits), cell(estimateDifference(first, second), digits, true)])
  }
  return table.toString()
}

const ABLATION_KEYS: Array<keyof Figures> = ['worth', 'worstKind', 'worstWindows', 'largest', 'refused', 'refusedLate', 'idleWhileWaiting', 'startsInVain', 'wasted']

/** What each variant loses or gains against the first one, a line each. */
export const ablationTable = (base: WorkResult[], others: WorkResult[][]): string => {
  const columns = COLUMNS.filter(({ key }) => ABLATION_KEYS.includes(key))
  const table = new Table({ ...MARKDOWN_STYLE, head: [`against ${base[0]!.variant}`, ...columns.map(({ key }) => key)] })
  table.push([base[0]!.variant, ...columns.map(({ key, digits }) => cell(estimate(valuesOf(base, key)), digits))])
  for (const other of others) {
    table.push([other[0]!.variant, ...columns.map(({ key, digits }) => cell(estimateDifference(valuesOf(base, key), valuesOf(other, key)), digits, true))])
  }
  return table.toString()
}
