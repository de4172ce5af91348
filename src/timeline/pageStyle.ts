/** Style sheet of the timeline page. */
export const pageStyle = `
* { box-sizing: border-box; }
body { margin: 0; padding: 12px 16px; font: 13px/1.4 system-ui, sans-serif; color: #1d2330; background: #fff; }
header { display: flex; flex-wrap: wrap; gap: 14px; align-items: center; }
h1 { font-size: 18px; margin: 0 8px 0 0; }
input, select, button { font: inherit; padding: 2px 6px; border: 1px solid #b7bfcc; border-radius: 4px; background: #fff; }
#count { color: #5b6475; }
#kinds { margin: 10px 0 4px; display: flex; flex-wrap: wrap; gap: 4px 12px; }
#kinds label { display: inline-flex; align-items: center; gap: 4px; white-space: nowrap; }
#kinds i { width: 10px; height: 10px; border-radius: 2px; display: inline-block; }
#help { margin: 4px 0 8px; color: #5b6475; }
#chart { display: block; width: 100%; border: 1px solid #d5dae3; cursor: crosshair; }
#detail { min-height: 92px; margin: 8px 0 0; padding: 8px 10px; background: #f4f6f9; border-radius: 4px; white-space: pre-wrap; }
`;
