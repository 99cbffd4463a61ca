import * as echarts from 'echarts'
import type { WorkResult } from './worker.js'

const WIDTH = 900
const HEIGHT = 360

const meanAt = (results: WorkResult[], second: number): number | null => {
  const values = results.map(({ inTimeBySecond: seconds }) => seconds[second]).filter((value) => typeof value === 'number')
  return values.length === 0 ? null : Number((values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(4))
}

/**
 * Share of answers in time by second of arrival, a line a variant.
 *
 * @param title - above the plot
 * @param series - results of each variant
 * @returns an SVG document
 */
export const plotInTime = (title: string, series: WorkResult[][]): string => {
  const length = Math.max(...series.flatMap((results) => results.map(({ inTimeBySecond: seconds }) => seconds.length)))
  const seconds = Array.from({ length }, (_, second) => second)
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { top: 28 },
    grid: { top: 64, left: 56, right: 16, bottom: 40 },
    xAxis: { type: 'category', name: 'second', nameLocation: 'middle', nameGap: 24, data: seconds },
    yAxis: { type: 'value', name: 'share in time', min: 0, max: 1 },
    series: series.map((results) => ({
      type: 'line', name: results[0]!.variant, showSymbol: false, data: seconds.map((second) => meanAt(results, second))
    }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}
