/** Formats a number with three significant digits, or as an integer from 100 up; NaN as a dash. */
export const formatNumber = (value: number): string => {
  if (Number.isNaN(value)) return '–';
  if (value === 0) return '0';
  if (Math.abs(value) >= 100) return value.toFixed(0);
  return Number(value.toPrecision(3)).toString();
};

/**
 * Formats the mean of several runs followed by the lowest and highest value. NaN values are ignored.
 *
 * @example
 * formatMeanWithRange([1, 2, 3]); // '2 (1–3)'
 */
export const formatMeanWithRange = (values: readonly number[]): string => {
  const numbers = values.filter((value) => !Number.isNaN(value));
  if (numbers.length === 0) return '–';
  const mean = numbers.reduce((sum, value) => sum + value, 0) / numbers.length;
  if (numbers.length === 1) return formatNumber(mean);
  const [low, high] = [Math.min(...numbers), Math.max(...numbers)];
  return `${formatNumber(mean)} (${formatNumber(low)}–${formatNumber(high)})`;
};
